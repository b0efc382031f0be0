package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"strings"
)

// Meter counts the bytes and messages of calls by their kind.
type Meter interface{ Add(name string, n int64) }

// gobStream encodes and decodes the messages of a connection with gob and counts them. net/rpc writes
// one message at a time, and reads on one goroutine.
type gobStream struct {
	net.Conn
	in      *countingReader
	out     *countingWriter
	decoder *gob.Decoder
	encoder *gob.Encoder
	meter   Meter
}

// countingWriter counts the bytes that the encoder has written to the buffer.
type countingWriter struct {
	*bufio.Writer
	written int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.written += int64(n)
	return n, err
}

// countingReader counts the bytes that the decoder has taken from the buffer.
type countingReader struct {
	*bufio.Reader
	read int64
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.read += int64(n)
	return n, err
}

func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.read++
	}
	return b, err
}

func newGobStream(c net.Conn, m Meter) *gobStream {
	in, out := &countingReader{Reader: bufio.NewReader(c)}, &countingWriter{Writer: bufio.NewWriter(c)}
	return &gobStream{Conn: c, in: in, out: out, decoder: gob.NewDecoder(in), encoder: gob.NewEncoder(out), meter: m}
}

func (s *gobStream) write(method string, header, body any) error {
	before := s.out.written
	if err := s.encoder.Encode(header); err != nil {
		return err
	}
	if err := s.encoder.Encode(body); err != nil {
		return err
	}
	s.count(method, "sent", s.out.written-before)
	return s.out.Flush()
}

// count counts a message by the name of its method, without that of the service.
func (s *gobStream) count(method, direction string, bytes int64) {
	if s.meter == nil {
		return
	}
	name := strings.ToLower(strings.TrimPrefix(method, serviceName+"."))
	s.meter.Add("bytes.peer."+name+"."+direction, bytes)
	s.meter.Add("messages.peer."+name+"."+direction, 1)
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*gobStream
	method string
	before int64
}

func newClientCodec(c net.Conn, m Meter) rpc.ClientCodec {
	return &clientCodec{gobStream: newGobStream(c, m)}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.before = c.in.read
	err := c.decoder.Decode(r)
	c.method = r.ServiceMethod
	return err
}

func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.decoder.Decode(body)
	c.count(c.method, "received", c.in.read-c.before)
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*gobStream
	method string
	before int64
}

func newServerCodec(c net.Conn, m Meter) rpc.ServerCodec {
	return &serverCodec{gobStream: newGobStream(c, m)}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.before = c.in.read
	err := c.decoder.Decode(r)
	c.method = r.ServiceMethod
	return err
}

func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.count(c.method, "received", c.in.read-c.before)
	return err
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r.ServiceMethod, r, body)
	if err != nil {
		// The stream may hold half a message, so that no later one can be read.
		_ = c.Close()
	}
	return err
}
