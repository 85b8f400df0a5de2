package dispatcher

import "burdocklane/classifier"

// Check returns the result for a request that cannot be dispatched whatever its body, or
// nil. It lets a front end refuse such a request before it reads the body.
func (d *Dispatcher) Check(request classifier.Request) Result {
	snapshot := d.publisher.Current()
	if !snapshot.Ready() {
		return NotReady{}
	}
	if !snapshot.Index().Matches(request) {
		return Unmatched{}
	}
	return nil
}
