package peer

import "net/rpc"

// clientCodec implements rpc.ClientCodec. The codec of net/rpc does not bound the size of
// messages.
type clientCodec struct{ *gobStream }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	return c.read(r, maxHeaderBytes)
}

// ReadResponseBody implements rpc.ClientCodec. After a body that cannot be decoded, the
// stream may no longer be at a message boundary. net/rpc would keep using it, so the
// connection is closed.
func (c clientCodec) ReadResponseBody(body any) error {
	err := c.read(body, maxMessageBytes)
	if err != nil {
		_ = c.Close()
	}
	return err
}
