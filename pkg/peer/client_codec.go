package peer

import "net/rpc"

// clientCodec implements rpc.ClientCodec. The one of net/rpc bounds no message.
type clientCodec struct{ *gobStream }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	return c.read(r, maxHeaderBytes)
}

// ReadResponseBody implements rpc.ClientCodec. After a body that cannot be decoded the
// stream may be out of step, and net/rpc would go on with it, so it is closed.
func (c clientCodec) ReadResponseBody(body any) error {
	err := c.read(body, maxMessageBytes)
	if err != nil {
		_ = c.Close()
	}
	return err
}
