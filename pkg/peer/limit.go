package peer

import (
	"bufio"
	"io"

	"github.com/juju/errors"
)

const (
	// maxMessageBytes bounds one message between entry VMs. It allows for the largest answer
	// (contract.MaxAnswerBytes) and the records sent with it.
	maxMessageBytes = 32 << 20
	// maxHeaderBytes bounds the header of a request or reply: a method name, a sequence
	// number and, in a reply, an error text.
	maxHeaderBytes = 64 << 10
)

// errMessageTooLarge means that a message exceeds its size limit. It ends the connection,
// since the rest of the message is not read.
const errMessageTooLarge = errors.ConstError("message of peer is too large")

// limitedReader fails once a message exceeds its size limit. It implements io.ByteReader, so
// that gob does not read beyond the message.
type limitedReader struct {
	reader    *bufio.Reader
	remaining int
}

func newLimitedReader(r io.Reader) *limitedReader {
	return &limitedReader{reader: bufio.NewReader(r)}
}

// setLimit sets the size limit of the next message.
func (l *limitedReader) setLimit(n int) {
	l.remaining = n
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (l *limitedReader) ReadByte() (byte, error) {
	if l.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	l.remaining--
	return l.reader.ReadByte()
}
