package protocol

import "time"

const (
	// MaxRequest bounds a request body, in bytes.
	MaxRequest = 4 << 20
	// MaxResponse bounds a response body, in bytes.
	MaxResponse = 16 << 20
	// MaxID bounds a lease id, a key and the like, in bytes.
	MaxID = 256
	// MaxHolds bounds the holds of one message.
	MaxHolds = 8192
	// MaxRecords bounds the records of one append and the entries of one read.
	MaxRecords = 4096
	// MaxPoll bounds how long a server holds a request that waits for something.
	MaxPoll = 20 * time.Second
)

// HeaderRegion names the header that carries the caller's region in a request
// and the service's region in an answer.
const HeaderRegion = "Coltsfootmux-Region"
