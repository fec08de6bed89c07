package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
)

// maxKeyBytes is the length of the longest key.
const maxKeyBytes = 128

// keyHeader is the header that may contain the key.
const keyHeader = "Idempotency-Key"

// keyOf returns the key from the header or the field. If both are set, they must
// be equal.
func keyOf(header string, field model.Key) (model.Key, *problem.Problem) {
	key := model.Key(strings.Trim(header, `"`))
	if key == "" {
		key = field
	}
	if field != "" && key != field {
		return "", problem.New(http.StatusBadRequest, codeKeyInvalid, "The key in the header and the one in the body differ.")
	}
	if key == "" {
		return "", problem.New(http.StatusBadRequest, codeKeyMissing, "Send a key of your own, best a UUIDv7, in the Idempotency-Key header.")
	}
	return key, checkKey(key)
}

// checkKey returns a problem if the key is too long or has a character that is not
// allowed.
func checkKey(key model.Key) *problem.Problem {
	if len(key) > maxKeyBytes {
		return problem.New(http.StatusBadRequest, codeKeyInvalid, "A key has at most 128 characters.")
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' || c == '/' {
			return problem.New(http.StatusBadRequest, codeKeyInvalid, "A key is made of printable ASCII characters without spaces and slashes.")
		}
	}
	return nil
}

// isFromFuture reports whether the time in a UUIDv7 key is more than skew after now.
func isFromFuture(key model.Key, now time.Time, skew time.Duration) bool {
	created, ok := keyTime(key)
	return ok && created.After(now.Add(skew))
}

// keyTime returns the time in a UUIDv7 key; ok is false for other keys.
func keyTime(key model.Key) (created time.Time, ok bool) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
