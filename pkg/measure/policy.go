package measure

// Policy is a task placement policy: Sequoiacart, RandomFIFO or PowerOfTwoFIFO.
type Policy interface{ isPolicy() }

// Sequoiacart places tasks with the scheduler of pkg/dispatch.
type Sequoiacart struct{}

// RandomFIFO sends each task to a random endpoint, which queues tasks in arrival order.
type RandomFIFO struct{}

// PowerOfTwoFIFO sends each task to the less loaded of two random endpoints, based on loads
// that are refreshed at intervals. The endpoint queues tasks in arrival order.
type PowerOfTwoFIFO struct{}

func (Sequoiacart) isPolicy()    {}
func (RandomFIFO) isPolicy()     {}
func (PowerOfTwoFIFO) isPolicy() {}
