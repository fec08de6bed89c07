package settings

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

func exceptionID(e config.Exception) string               { return e.ID }
func accountName(a config.Account) model.Account          { return a.Name }
func cellID(c model.Cell) model.CellID                    { return c.ID }
func workerID(w model.Worker) model.WorkerID              { return w.ID }
func dataCentreName(c config.DataCentre) model.DataCentre { return c.Name }

// find looks an item up by name in a list in the order of names.
func find[T any, K cmp.Ordered](list []T, name K, key func(T) K) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(item T, name K) int {
		return cmp.Compare(key(item), name)
	})
}

// put gives a copy of the list with the item in its place.
func put[T any, K cmp.Ordered](list []T, item T, key func(T) K) []T {
	i, ok := find(list, key(item), key)
	out := slices.Clone(list)
	if ok {
		out[i] = item
		return out
	}
	return slices.Insert(out, i, item)
}

// remove replaces the list by a copy without the named item.
func remove[T any, K ~string](list *[]T, name K, key func(T) K, what string) error {
	i, ok := find(*list, name, key)
	if !ok {
		return eris.Wrapf(ErrApply, "no %s %q", what, name)
	}
	*list = slices.Delete(slices.Clone(*list), i, i+1)
	return nil
}
