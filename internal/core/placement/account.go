package placement

import "coltsfootmux/internal/model"

// account is a client account's standing in the owned cells.
type account struct {
	name   model.Account
	weight float64
	used   model.Shape
	// entitled is what is held for it in the owned cells now, and cells where.
	entitled model.Shape
	cells    []*cell
	waiting  int
}

func (c *Core) account(name model.Account) *account {
	a, ok := c.accounts[name]
	if !ok {
		a = &account{name: name, weight: c.weightOf(name)}
		c.accounts[name] = a
	}
	return a
}

func (c *Core) weightOf(name model.Account) float64 {
	if share := c.conf.accounts[name].Share; share > 0 {
		return share
	}
	return 1
}

// share is the account's weighted dominant share of the owned capacity.
func (c *Core) share(a *account) float64 {
	return dominant(a.used, c.total) / a.weight
}

// dominant is the largest share of total that used takes in any resource.
func dominant(used, total model.Shape) float64 {
	d := ratio(used.Slots, total.Slots)
	d = max(d, ratio(used.Accelerators, total.Accelerators))
	d = max(d, ratio(used.CPUMilli, total.CPUMilli))
	return max(d, ratio(used.MemoryMB, total.MemoryMB))
}

func ratio(n, of int) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}
