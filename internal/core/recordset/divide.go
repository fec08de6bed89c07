package recordset

// Divide divides a value into parts that each fit, in order. It returns nil if one of them does
// not fit and can't be divided any further.
func Divide[T any](v T, fits func(T) bool, halve func(T) (first, second T, ok bool)) []T {
	if fits(v) {
		return []T{v}
	}
	first, second, ok := halve(v)
	if !ok {
		return nil
	}
	a := Divide(first, fits, halve)
	if a == nil {
		return nil
	}
	b := Divide(second, fits, halve)
	if b == nil {
		return nil
	}
	return append(a, b...)
}

// HalveList divides a list; ok is false if it has less than two elements.
func HalveList[T any](list []T) (first, second []T, ok bool) {
	if len(list) < 2 {
		return nil, nil, false
	}
	return list[:len(list)/2], list[len(list)/2:], true
}
