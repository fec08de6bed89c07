package settings

import "github.com/rotisserie/eris"

var (
	// ErrApply means that a change can't be applied to a document.
	ErrApply = eris.New("change can't be applied")
	// ErrDecode means that bytes are not what their type says.
	ErrDecode = eris.New("can't decode configuration record")
	// ErrEncode means that a value could not be encoded.
	ErrEncode = eris.New("can't encode configuration record")
)
