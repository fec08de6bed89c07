package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

// Validate checks a document: first each field against its bounds, then the rules
// between fields. The error is an *InvalidError whose faults have no lines.
func Validate(doc *Document) error {
	faults := problems(doc)
	sortFaults(faults)
	return asError(faults)
}

// problems returns the faults of a document. Each stage of checks relies on the
// one before, so that only the first stage with faults reports them: bounds of
// fields, then names and references, then the sizes of guarantees.
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
	err := structValidator.Struct(doc)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return nil
	}
	out := make([]*FieldError, len(violations))
	for i, b := range violations {
		_, field, _ := strings.Cut(b.Namespace(), ".")
		out[i] = &FieldError{Field: field, Problem: ruleText(b)}
	}
	return out
}

// ruleText describes the bound that a field violates.
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
	return fmt.Sprintf("violates the rule %s=%s", b.Tag(), b.Param())
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
