package external

// Sizes in an append, in bytes, apart from keys and values.
const (
	recordHeaderBytes = 4
	keyHeaderBytes    = 1
)

// StoreLimits are the largest sizes that the store takes, in bytes; 0 means that a limit is not
// known.
type StoreLimits struct {
	// RecordBytes is for one record, AppendBytes for all records of one append.
	RecordBytes int
	AppendBytes int
}

// RecordSize returns the size of a record as the store counts it.
func RecordSize(r Record) int { return keyHeaderBytes + len(r.Key) + len(r.Value) }

// AppendSize returns the size of an append of the records, as the store counts it.
func AppendSize(records []Record) int {
	n := 0
	for _, r := range records {
		n += recordHeaderBytes + RecordSize(r)
	}
	return n
}
