package recordset

import "coltsfootmux/internal/external"

// fits reports whether a size in bytes is within a limit; 0 means that there is no limit.
func fits(size, limit int) bool { return limit == 0 || size <= limit }

// FitsRecord reports whether the store takes the record.
func FitsRecord(l external.StoreLimits, r external.Record) bool {
	return fits(external.RecordSize(r), l.RecordBytes)
}

// FitsAppend reports whether the store takes all of the records in one append.
func FitsAppend(l external.StoreLimits, records []external.Record) bool {
	return fits(external.AppendSize(records), l.AppendBytes)
}

// Chunks divides records that need not be written together into appends.
func Chunks(l external.StoreLimits, records []external.Record) [][]external.Record {
	return pack(l, records, func(r external.Record) int { return external.AppendSize([]external.Record{r}) })
}

// pack divides a list, in order, into groups of which each fits into one append, or has one element.
func pack[T any](l external.StoreLimits, list []T, sizeOf func(T) int) [][]T {
	var out [][]T
	begin, size := 0, 0
	for n, v := range list {
		s := sizeOf(v)
		if n > begin && !fits(size+s, l.AppendBytes) {
			out = append(out, list[begin:n])
			begin, size = n, 0
		}
		size += s
	}
	if begin < len(list) {
		out = append(out, list[begin:])
	}
	return out
}
