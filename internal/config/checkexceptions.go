package config

import "coltsfootmux/internal/model"

// checkExceptions checks that each exception's selectors name existing things
// and that it overrides at least one value, of a kind that they can select.
func checkExceptions(doc *Document, p places) []*FieldError {
	var out []*FieldError
	accounts := make(map[model.Account]bool, len(doc.Accounts))
	for _, a := range doc.Accounts {
		accounts[a.Name] = true
	}
	seen := make(map[string]bool)
	for i := range doc.Exceptions {
		e := &doc.Exceptions[i]
		path := index("exceptions", i)
		if seen[e.ID] {
			out = append(out, duplicate(path+".id", e.ID))
		}
		seen[e.ID] = true
		out = append(out, checkSelectors(path, e, accounts, p)...)
		out = append(out, checkOverrides(path, e)...)
	}
	return out
}

func checkSelectors(path string, e *Exception, accounts map[model.Account]bool, p places) []*FieldError {
	var out []*FieldError
	if e.Account != "" && !accounts[e.Account] {
		out = append(out, unknown(path+".account", "client account", string(e.Account)))
	}
	if e.DataCentre != "" && !p.dcs[e.DataCentre] {
		out = append(out, unknown(path+".dataCentre", "data centre", string(e.DataCentre)))
	}
	if e.Cell != "" && !p.cells[e.Cell] {
		out = append(out, unknown(path+".cell", "cell", string(e.Cell)))
	}
	if e.Worker != "" && !p.workers[e.Worker] {
		out = append(out, unknown(path+".worker", "worker", string(e.Worker)))
	}
	if e.placeSelectors() > 1 {
		out = append(out, &FieldError{Field: path, Problem: "selects by more than one of dataCentre, cell and worker"})
	}
	return out
}

func checkOverrides(path string, e *Exception) []*FieldError {
	var out []*FieldError
	byPlace := e.placeSelectors() > 0
	byWork := e.Account != "" || e.Kind != ""
	if e.Drain == nil && !e.overridesLimits() {
		return []*FieldError{{Field: path, Problem: "overrides nothing"}}
	}
	if e.Drain != nil && (!byPlace || byWork) {
		out = append(out, &FieldError{Field: path + ".drain", Problem: "needs one of dataCentre, cell and worker, and neither account nor kind"})
	}
	if e.overridesLimits() && byPlace {
		out = append(out, &FieldError{Field: path, Problem: "limits can't be selected by dataCentre, cell or worker"})
	}
	return append(out, checkValues(path, e)...)
}

func checkValues(path string, e *Exception) []*FieldError {
	var out []*FieldError
	if e.LongestWait != nil && *e.LongestWait <= 0 {
		out = append(out, &FieldError{Field: path + ".longestWait", Problem: "must be more than 0"})
	}
	if e.RatePerSecond != nil && *e.RatePerSecond < 0 {
		out = append(out, &FieldError{Field: path + ".ratePerSecond", Problem: "must be at least 0"})
	}
	if e.Concurrency != nil && *e.Concurrency < 0 {
		out = append(out, &FieldError{Field: path + ".concurrency", Problem: "must be at least 0"})
	}
	if e.QueueBound != nil && *e.QueueBound < 0 {
		out = append(out, &FieldError{Field: path + ".queueBound", Problem: "must be at least 0"})
	}
	return out
}

// placeSelectors returns how many of the selectors by place are set.
func (e *Exception) placeSelectors() int {
	n := 0
	for _, set := range []bool{e.DataCentre != "", e.Cell != "", e.Worker != ""} {
		if set {
			n++
		}
	}
	return n
}

func (e *Exception) overridesLimits() bool {
	return e.LongestWait != nil || e.RatePerSecond != nil || e.Concurrency != nil || e.QueueBound != nil || e.Class != nil
}
