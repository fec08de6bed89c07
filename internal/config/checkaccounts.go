package config

import "coltsfootmux/internal/model"

// checkAccounts checks the accounts' names, data centres and guarantees, the
// latter without their sizes.
func checkAccounts(doc *Document, p places) []*FieldError {
	var out []*FieldError
	seen := make(map[model.Account]bool)
	for i := range doc.Accounts {
		a := &doc.Accounts[i]
		path := index("accounts", i)
		if seen[a.Name] {
			out = append(out, duplicate(path+".name", string(a.Name)))
		}
		seen[a.Name] = true
		for j, dc := range a.DataCentres {
			if !p.dcs[dc] {
				out = append(out, unknown(index(path+".dataCentres", j), "data centre", string(dc)))
			}
		}
		for j := range a.Guarantees {
			out = append(out, checkGuarantee(index(path+".guarantees", j), a, &a.Guarantees[j], p)...)
		}
	}
	return out
}

// checkGuarantee checks one guarantee except for its size.
func checkGuarantee(path string, a *Account, g *Guarantee, p places) []*FieldError {
	var out []*FieldError
	if g.Shape.IsZero() {
		out = append(out, &FieldError{Field: path + ".shape", Problem: "must not be empty"})
	}
	if !g.Adjacency.Valid() {
		out = append(out, unknown(path+".adjacency", "adjacency", string(g.Adjacency)))
	}
	if g.DataCentre == "" {
		return out
	}
	if !p.dcs[g.DataCentre] {
		return append(out, unknown(path+".dataCentre", "data centre", string(g.DataCentre)))
	}
	if !a.mayRunIn(g.DataCentre) {
		out = append(out, &FieldError{Field: path + ".dataCentre", Problem: "is not among the account's data centres"})
	}
	return out
}
