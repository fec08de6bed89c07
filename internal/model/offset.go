package model

// Offset is a record's position in a stream of the log service. The first is 1.
type Offset uint64
