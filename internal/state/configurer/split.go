package configurer

import (
	"bytes"

	"github.com/pkg/errors"
)

// MaxPartBytes is the maximum size of a part of a stored document. The platform
// stores values of up to one megabyte, and base64 in JSON adds a third.
const MaxPartBytes = 700_000

// maxParts allows for twice the size of the largest document, which leaves room
// for the record that is stored with it.
const maxParts = 2*MaxDocumentBytes/MaxPartBytes + 1

// Split divides data into parts of at most size bytes. It returns at least one
// part, also for empty data.
func Split(data []byte, size int) [][]byte {
	var parts [][]byte
	for len(data) > size {
		parts = append(parts, data[:size])
		data = data[size:]
	}
	return append(parts, data)
}

// Join reads the given number of parts through readPart and concatenates them.
func Join(count int, readPart func(n int) ([]byte, error)) ([]byte, error) {
	if count < 1 || count > maxParts {
		return nil, errors.Errorf("document has %d parts, 1 to %d are allowed", count, maxParts)
	}
	var document bytes.Buffer
	for n := range count {
		data, err := readPart(n)
		if err != nil {
			return nil, errors.Wrapf(err, "part %d", n)
		}
		document.Write(data)
	}
	return document.Bytes(), nil
}
