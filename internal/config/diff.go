package config

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"coltsfootmux/internal/model"
)

// Diff returns the differences from a to b in the order of their paths. Items of
// lists are matched by name. A nil document counts as empty.
func Diff(a, b *Document) []Change {
	a, b = orEmpty(a), orEmpty(b)
	var d differ
	d.fleet(&a.Fleet, &b.Fleet)
	d.fields("defaults", reflect.ValueOf(a.Defaults), reflect.ValueOf(b.Defaults))
	diffList(&d, "accounts", a.Accounts, b.Accounts, func(x Account) model.Account { return x.Name })
	diffList(&d, "exceptions", a.Exceptions, b.Exceptions, func(x Exception) string { return x.ID })
	slices.SortStableFunc(d.out, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })
	return d.out
}

func orEmpty(d *Document) *Document {
	if d == nil {
		return &Document{}
	}
	return d
}

// differ collects changes.
type differ struct{ out []Change }

func (d *differ) fleet(a, b *Fleet) {
	diffList(d, "fleet.dataCentres", a.DataCentres, b.DataCentres, func(x DataCentre) model.DataCentre { return x.Name })
	d.cells(a.Cells, b.Cells)
	d.value("fleet.keyGroups", a.KeyGroups, b.KeyGroups)
	d.value("fleet.cellsPerGroup", a.CellsPerGroup, b.CellsPerGroup)
	d.value("fleet.witnesses", a.Witnesses, b.Witnesses)
}

// cells compares two lists of cells; a cell in both is compared worker by worker.
func (d *differ) cells(a, b []model.Cell) {
	id := func(c model.Cell) model.CellID { return c.ID }
	matchBy(a, b, id, func(name model.CellID, x, y *model.Cell) {
		path := "fleet.cells[" + string(name) + "]"
		if x == nil || y == nil {
			d.item(path, x, y)
			return
		}
		d.value(path+".dataCentre", x.DataCentre, y.DataCentre)
		diffList(d, path+".workers", x.Workers, y.Workers, func(w model.Worker) model.WorkerID { return w.ID })
	})
}

// diffList compares two lists whose items have a name.
func diffList[T any, K ~string](d *differ, path string, a, b []T, key func(T) K) {
	matchBy(a, b, key, func(name K, x, y *T) {
		item := path + "[" + string(name) + "]"
		if x == nil || y == nil {
			d.item(item, x, y)
			return
		}
		if !reflect.DeepEqual(*x, *y) {
			d.fields(item, reflect.ValueOf(*x), reflect.ValueOf(*y))
		}
	})
}

// matchBy calls f for each name in either list, in the order of names, with the
// items of that name; an item that a list lacks is nil.
func matchBy[T any, K cmp.Ordered](a, b []T, key func(T) K, f func(K, *T, *T)) {
	in := func(list []T) map[K]*T {
		m := make(map[K]*T, len(list))
		for i := range list {
			m[key(list[i])] = &list[i]
		}
		return m
	}
	am, bm := in(a), in(b)
	names := make([]K, 0, len(am)+len(bm))
	for k := range am {
		names = append(names, k)
	}
	for k := range bm {
		if am[k] == nil {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	for _, k := range names {
		f(k, am[k], bm[k])
	}
}

// fields compares the fields of two structs of the same type.
func (d *differ) fields(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		d.value(path+"."+yamlName(a.Type().Field(i)), a.Field(i).Interface(), b.Field(i).Interface())
	}
}

func (d *differ) value(path string, a, b any) {
	if before, after := jsonText(a), jsonText(b); before != after {
		d.out = append(d.out, Change{Path: path, Before: before, After: after})
	}
}

// item records an item that is in only one of the lists; the other argument is nil.
func (d *differ) item(path string, a, b any) {
	d.out = append(d.out, Change{Path: path, Before: jsonText(a), After: jsonText(b)})
}

// jsonText returns a value as JSON, or an empty string for a nil, zero or empty value.
func jsonText(v any) string {
	r := reflect.ValueOf(v)
	if !r.IsValid() || r.IsZero() || r.Kind() == reflect.Slice && r.Len() == 0 {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
