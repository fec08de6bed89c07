package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

var structCheck = newStructCheck()

func newStructCheck() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

// Validate checks a whole document: each field against its bounds, then the
// document against itself. The error is an *InvalidError without lines.
func Validate(doc *Document) error {
	faults := problems(doc)
	sortFaults(faults)
	return asError(faults)
}

// problems gives every fault of a document. Each level of checks relies on the
// one before: bounds of fields, then names, then the sizes of guarantees.
func problems(doc *Document) []*FieldError {
	if faults := fieldProblems(doc); len(faults) > 0 {
		return faults
	}
	places := newPlaces(&doc.Fleet)
	faults := checkFleet(&doc.Fleet)
	faults = append(faults, checkDefaults(&doc.Defaults)...)
	faults = append(faults, checkAccounts(doc, places)...)
	faults = append(faults, checkExceptions(doc, places)...)
	if len(faults) > 0 {
		return faults
	}
	return checkGuarantees(doc)
}

func fieldProblems(doc *Document) []*FieldError {
	err := structCheck.Struct(doc)
	var bad validator.ValidationErrors
	if !errors.As(err, &bad) {
		return nil
	}
	out := make([]*FieldError, len(bad))
	for i, b := range bad {
		_, field, _ := strings.Cut(b.Namespace(), ".")
		out[i] = &FieldError{Field: field, Problem: ruleText(b)}
	}
	return out
}

// ruleText says in words which bound a field breaks.
func ruleText(b validator.FieldError) string {
	switch b.Tag() {
	case "required":
		return "is required"
	case "gt":
		return "must be more than " + b.Param()
	case "gte":
		return "must be at least " + b.Param()
	case "lte":
		return "must be at most " + b.Param()
	case "oneof":
		return "must be one of: " + strings.ReplaceAll(b.Param(), " ", ", ")
	}
	return fmt.Sprintf("breaks the rule %s=%s", b.Tag(), b.Param())
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
