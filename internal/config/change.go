package config

// Change is one difference between two documents.
type Change struct {
	// Path is the path of the changed part, with list items by name, such as "accounts[lab].share".
	Path string `json:"path" cbor:"1,keyasint"`
	// Before and After are the values as JSON; empty when there is none.
	Before string `json:"before,omitempty" cbor:"2,keyasint,omitempty"`
	After  string `json:"after,omitempty" cbor:"3,keyasint,omitempty"`
}
