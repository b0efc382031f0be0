package peer

import "net/rpc"

// serverCodec implements rpc.ServerCodec. The one of net/rpc bounds no message.
type serverCodec struct{ *gobStream }

// ReadRequestHeader implements rpc.ServerCodec.
func (s serverCodec) ReadRequestHeader(r *rpc.Request) error {
	return s.read(r, maxHeaderBytes)
}

// ReadRequestBody implements rpc.ServerCodec. After a body that cannot be decoded the
// stream may be out of step, and net/rpc would go on with it, so it is closed.
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
