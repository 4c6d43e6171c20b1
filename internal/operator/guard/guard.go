// Package guard recovers panics of decoding libraries, so that malformed input
// cannot crash the process.
package guard

import (
	"github.com/rotisserie/eris"
)

// RecoverPanic calls decode and returns its error; a panic is returned as an error.
func RecoverPanic(decode func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = eris.Errorf("the input cannot be decoded: %v", r)
		}
	}()
	return decode()
}
