package inspector

import (
	"cmp"
	"slices"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/publisher"
	"burdocklane/tracker"
)

// staleThreshold is the time without a response of the store after which an
// instance cannot know whether its configuration is current.
const staleThreshold = 90 * time.Second

type statusMessage struct {
	Instance      string               `json:"instance"`
	Region        string               `json:"region"`
	Zone          string               `json:"availability-zone"`
	State         string               `json:"state"`
	Configuration configurationMessage `json:"configuration"`
	ListVersion   int64                `json:"list-version"`
	ListContact   *time.Time           `json:"list-contact,omitempty"`
	InFlight      int64                `json:"calls-in-flight"`
	Violations    int64                `json:"invariant-violations"`
	LinesDropped  int64                `json:"decision-lines-dropped"`
	Fleet         fleetMessage         `json:"fleet"`
	Measuring     measuringMessage     `json:"measuring"`
	Control       controlMessage       `json:"control"`
	Services      []serviceMessage     `json:"services"`
}

type controlMessage struct {
	PeerBytes  int64 `json:"peer-bytes"`
	StoreBytes int64 `json:"store-bytes"`
	ListBytes  int64 `json:"list-bytes"`
	StoreCalls int64 `json:"store-calls"`
}

type fleetMessage struct {
	Epoch       uint64     `json:"view-epoch"`
	PeerContact *time.Time `json:"peer-contact,omitempty"`
	LocalPeers  []string   `json:"peers-in-region"`
	SlotsLent   int        `json:"slots-lent"`
	Repairs     []string   `json:"repairs-in-last-hour"`
}

type measuringMessage struct {
	ReservedBytes int64  `json:"reserved-bytes"`
	Bytes         int64  `json:"bytes"`
	Refused       int64  `json:"refused-by-budget"`
	Policy        string `json:"policy"`
}

type configurationMessage struct {
	Revision     int64      `json:"revision"`
	ActiveSince  *time.Time `json:"in-force-since,omitempty"`
	LearntFrom   string     `json:"learnt-from,omitempty"`
	Author       string     `json:"author,omitempty"`
	ChangeID     string     `json:"change-id,omitempty"`
	StoreContact *time.Time `json:"store-contact,omitempty"`
	Current      string     `json:"current"`
}

type serviceMessage struct {
	Service string          `json:"service"`
	Slots   int             `json:"slots"`
	Waiting int             `json:"waiting"`
	MeanMs  float64         `json:"mean-ms"`
	Retries int64           `json:"retries"`
	Calls   int64           `json:"calls"`
	Workers []workerMessage `json:"workers"`
}

type workerMessage struct {
	Worker     string  `json:"worker"`
	Address    string  `json:"address"`
	Zone       string  `json:"availability-zone"`
	State      string  `json:"state"`
	InFlight   int32   `json:"in-flight"`
	Limit      int32   `json:"limit"`
	Share      int     `json:"share"`
	ExpectedMs float64 `json:"expected-ms"`
}

func newStatusMessage(s Sources, leaving bool, now time.Time) statusMessage {
	snapshot := s.publisher.Current()
	message := statusMessage{
		Instance:      string(s.instance.ID()),
		Region:        s.instance.Locality().Region(),
		Zone:          s.instance.Locality().Zone(),
		State:         instanceState(snapshot, leaving),
		Configuration: newConfigurationMessage(s, snapshot, now),
		ListVersion:   snapshot.List().Version(),
		ListContact:   timeOrNil(s.listContact()),
		InFlight:      s.dispatcher.InFlight(),
		Violations:    s.asserter.Violations(),
		LinesDropped:  s.recorder.Dropped(),
		Fleet:         s.fleet.message(),
		Measuring:     newMeasuringMessage(s),
		Control:       s.control().message(),
		Services:      []serviceMessage{},
	}
	for name, service := range snapshot.ServiceStates() {
		message.Services = append(message.Services, newServiceMessage(name, service))
	}
	slices.SortFunc(message.Services, func(a, b serviceMessage) int { return cmp.Compare(a.Service, b.Service) })
	return message
}

func instanceState(s *publisher.Snapshot, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case !s.Ready():
		return "no-configuration"
	}
	return "ready"
}

func newConfigurationMessage(s Sources, snapshot *publisher.Snapshot, now time.Time) configurationMessage {
	contact := s.storeContact()
	current := "yes"
	if contact.IsZero() || now.Sub(contact) > staleThreshold {
		current = "unknown: the store has not answered lately"
	}
	change := snapshot.Deployment().Change()
	return configurationMessage{
		Revision:     int64(snapshot.Deployment().Revision()),
		ActiveSince:  timeOrNil(snapshot.ActiveSince()),
		LearntFrom:   snapshot.Source(),
		Author:       change.Author(),
		ChangeID:     change.ID(),
		StoreContact: timeOrNil(contact),
		Current:      current,
	}
}

func newServiceMessage(name descriptor.ServiceName, service *publisher.ServiceState) serviceMessage {
	pool := service.Pool()
	message := serviceMessage{
		Service: string(name),
		Slots:   pool.Slots(),
		Waiting: pool.Waiting(),
		MeanMs:  milliseconds(pool.MeanLatency()),
		Retries: service.Budget().Spent(),
		Calls:   service.Budget().Calls(),
		Workers: []workerMessage{},
	}
	for _, w := range pool.Workers() {
		message.Workers = append(message.Workers, newWorkerMessage(pool, w))
	}
	return message
}

func newWorkerMessage(pool *limiter.Pool, w *tracker.Worker) workerMessage {
	mean, now := int64(pool.MeanLatency()), pool.Now()
	return workerMessage{
		Worker:     string(w.ID()),
		Address:    w.Address(),
		Zone:       w.Member().Locality().Zone(),
		State:      w.State(mean, now).String(),
		InFlight:   w.InFlight(),
		Limit:      w.Limit(),
		Share:      w.Share(),
		ExpectedMs: milliseconds(time.Duration(w.ExpectedLatency(mean, now))),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}
