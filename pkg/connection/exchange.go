package connection

// exchange is what a connection is doing for its caller. It is one of the types below.
type exchange interface{ exchange() }

// awaiting means that no byte of a request has been read since the last answer.
type awaiting struct{}

// arriving means that bytes of a request have been read, and that no handler has it yet.
type arriving struct{}

// receiving means that a handler reads the body of a request.
type receiving struct{}

// handling means that a handler has a request, and all of it that it needs.
type handling struct{}

// answering means that a handler has ended, or that the server answers a request which no handler gets.
type answering struct{}

func (awaiting) exchange()  {}
func (arriving) exchange()  {}
func (receiving) exchange() {}
func (handling) exchange()  {}
func (answering) exchange() {}

// Unanswered is how far a request had come whose connection this process has closed without a whole answer.
type Unanswered string

// Values of Unanswered.
const (
	UnansweredArriving  Unanswered = "arriving"
	UnansweredHandling  Unanswered = "handling"
	UnansweredAnswering Unanswered = "answering"
)
