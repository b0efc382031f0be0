package measure

// Policy is a way to place tasks: Sequoiacart, RandomFIFO or PowerOfTwoFIFO.
type Policy interface{ isPolicy() }

// Sequoiacart places tasks by the scheduler of pkg/dispatch.
type Sequoiacart struct{}

// RandomFIFO sends each task to a random endpoint, where it waits in arrival order.
type RandomFIFO struct{}

// PowerOfTwoFIFO sends each task to the less loaded of two random endpoints, by loads
// that are refreshed at intervals. Tasks wait at the endpoint in arrival order.
type PowerOfTwoFIFO struct{}

func (Sequoiacart) isPolicy()    {}
func (RandomFIFO) isPolicy()     {}
func (PowerOfTwoFIFO) isPolicy() {}
