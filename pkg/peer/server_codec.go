package peer

import "net/rpc"

// serverCodec implements rpc.ServerCodec. The codec of net/rpc does not bound the size of
// messages.
type serverCodec struct{ *gobStream }

// ReadRequestHeader implements rpc.ServerCodec.
func (s serverCodec) ReadRequestHeader(r *rpc.Request) error {
	return s.read(r, maxHeaderBytes)
}

// ReadRequestBody implements rpc.ServerCodec. After a body that cannot be decoded, the
// stream may no longer be at a message boundary. net/rpc would keep using it, so the
// connection is closed.
func (s serverCodec) ReadRequestBody(body any) error {
	err := s.read(body, maxMessageBytes)
	if err != nil {
		_ = s.Close()
	}
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (s serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return s.write(r, body)
}
