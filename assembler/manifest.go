package assembler

import (
	"encoding/json"
	"strconv"
	"time"

	"burdocklane/descriptor"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// headerMessage is the value of the deployment key. It names each service's
// content, so that a half-read configuration is noticed.
type headerMessage struct {
	Deployment     string            `json:"deployment"`
	BytesPerSecond int64             `json:"bytes-per-second"`
	WorkerShare    float64           `json:"worker-share"`
	Number         int64             `json:"number"`
	ChangeID       string            `json:"change-id"`
	Author         string            `json:"author"`
	At             time.Time         `json:"at"`
	Services       map[string]string `json:"services"`
}

// recordMessage is the value of a history key.
type recordMessage struct {
	Number   int64     `json:"number"`
	ChangeID string    `json:"change-id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Services []string  `json:"services-changed"`
}

// Header is the deployment key's value, decoded.
type Header struct {
	message  headerMessage
	revision int64
}

// ParseHeader decodes the deployment key's value.
func ParseHeader(value []byte, revision int64) (Header, error) {
	h := Header{revision: revision}
	if err := json.Unmarshal(value, &h.message); err != nil {
		return h, errors.Wrapf(err, "deployment key at revision %d", revision)
	}
	return h, nil
}

// Revision returns the store's revision of the deployment key.
func (h Header) Revision() descriptor.Revision { return descriptor.Revision(h.revision) }

// Number counts the changes since the first.
func (h Header) Number() int64 { return h.message.Number }

// Change returns who made the revision and when.
func (h Header) Change() descriptor.Change {
	return descriptor.NewChange(h.message.ChangeID, h.message.Author, h.message.At)
}

// Record is one change in the history.
type Record struct {
	message  recordMessage
	revision int64
}

// ParseRecord decodes a history key's value.
func ParseRecord(value []byte, revision int64) (Record, error) {
	r := Record{revision: revision}
	if err := json.Unmarshal(value, &r.message); err != nil {
		return r, errors.Wrapf(err, "history key at revision %d", revision)
	}
	return r, nil
}

// Revision returns the revision that the change made.
func (r Record) Revision() descriptor.Revision { return descriptor.Revision(r.revision) }

// Change returns who made the change and when.
func (r Record) Change() descriptor.Change {
	return descriptor.NewChange(r.message.ChangeID, r.message.Author, r.message.At)
}

// Services returns the names of the services that the change wrote or removed.
func (r Record) Services() []string { return r.message.Services }

func contentHash(value []byte) string {
	return strconv.FormatUint(xxhash.Sum64(value), 16)
}

func encodeHeader(d descriptor.Deployment, number int64, change descriptor.Change, services map[string]string) ([]byte, error) {
	data, err := json.Marshal(headerMessage{
		Deployment:     d.Name(),
		BytesPerSecond: d.Measuring().BytesPerSecond(),
		WorkerShare:    d.Measuring().WorkerShare(),
		Number:         number,
		ChangeID:       change.ID(),
		Author:         change.Author(),
		At:             change.At(),
		Services:       services,
	})
	if err != nil {
		return data, errors.Wrap(err, "encode deployment key")
	}
	return data, nil
}

func (h Header) deployment(services []descriptor.Service) descriptor.Deployment {
	measuring := descriptor.NewMeasuring(h.message.BytesPerSecond, h.message.WorkerShare)
	return descriptor.NewDeployment(h.message.Deployment, measuring, services).
		WithRevision(h.Revision(), h.Change())
}
