package config

import "coltsfootmux/internal/model"

// checkAccounts checks names, data centres and adjacencies of accounts.
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
			out = append(out, checkTerms(index(path+".guarantees", j), a, &a.Guarantees[j], p)...)
		}
	}
	return out
}

// checkTerms checks the terms of one guarantee without looking at its size.
func checkTerms(path string, a *Account, g *Guarantee, p places) []*FieldError {
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
