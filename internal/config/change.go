package config

// Change is one difference between two documents.
type Change struct {
	// Path names the changed part by names, such as "accounts[lab].share".
	Path string `json:"path" cbor:"1,keyasint"`
	// Before and After are the values as text; empty when there is none.
	Before string `json:"before,omitempty" cbor:"2,keyasint,omitempty"`
	After  string `json:"after,omitempty" cbor:"3,keyasint,omitempty"`
}
