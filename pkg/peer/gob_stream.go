package peer

import (
	"bufio"
	"encoding/gob"
	"io"

	"github.com/juju/errors"
)

// gobStream reads and writes gob messages on a connection, with a size limit on messages
// that it reads.
type gobStream struct {
	conn    io.ReadWriteCloser
	limit   *limitedReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newGobStream(conn io.ReadWriteCloser) *gobStream {
	limit, buffer := newLimitedReader(conn), bufio.NewWriter(conn)
	return &gobStream{
		conn:    conn,
		limit:   limit,
		decoder: gob.NewDecoder(limit),
		encoder: gob.NewEncoder(buffer),
		buffer:  buffer,
	}
}

// read decodes the next message, of at most maxBytes.
func (g *gobStream) read(into any, maxBytes int) error {
	g.limit.setLimit(maxBytes)
	return g.decoder.Decode(into)
}

// write sends a header and a body. After a failure the stream is not at a message boundary,
// so the connection is closed.
func (g *gobStream) write(header, body any) error {
	err := g.encoder.Encode(header)
	if err == nil {
		err = g.encoder.Encode(body)
	}
	if err == nil {
		err = g.buffer.Flush()
	}
	if err != nil {
		_ = g.conn.Close()
	}
	return errors.Annotate(err, "write message to peer")
}

// Close closes the connection.
func (g *gobStream) Close() error {
	return g.conn.Close()
}
