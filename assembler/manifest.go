package assembler

import (
	"encoding/json"
	"strconv"
	"time"

	"burdocklane/descriptor"
	"burdocklane/storer"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// manifestMessage is the value of the deployment key. It holds a hash of each
// service's value, so that a partially read configuration is detected.
type manifestMessage struct {
	Deployment     string            `json:"deployment"`
	BytesPerSecond int64             `json:"bytes-per-second"`
	WorkerShare    float64           `json:"worker-share"`
	Number         int64             `json:"number"`
	ChangeID       string            `json:"change-id"`
	Author         string            `json:"author"`
	At             time.Time         `json:"at"`
	Services       map[string]string `json:"services"`
	Tenants        string            `json:"tenants,omitempty"` // The hash of their value.
}

// recordMessage is the value of a history key.
type recordMessage struct {
	Number   int64     `json:"number"`
	ChangeID string    `json:"change-id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Services []string  `json:"services-changed"`
}

// ConfigurationRevision returns the version of a configuration that was written at a
// revision of the store. It is the number alone: configurations are kept in etcd,
// which gives out no number twice.
func ConfigurationRevision(r storer.Revision) descriptor.Revision {
	return descriptor.Revision(r.Number())
}

// Manifest is the decoded value of the deployment key. It lists the services of a
// configuration with a hash of each one's value.
type Manifest struct {
	message  manifestMessage
	revision storer.Revision
}

// ParseManifest decodes the deployment key's value.
func ParseManifest(value []byte, revision storer.Revision) (Manifest, error) {
	m := Manifest{revision: revision}
	if err := json.Unmarshal(value, &m.message); err != nil {
		return m, errors.Wrapf(err, "deployment key at revision %s", revision)
	}
	return m, nil
}

// Revision returns the store's revision of the deployment key.
func (m Manifest) Revision() descriptor.Revision { return ConfigurationRevision(m.revision) }

// ChangeNumber returns the sequence number of the change that wrote the manifest.
func (m Manifest) ChangeNumber() int64 { return m.message.Number }

// Change returns the change that wrote the manifest.
func (m Manifest) Change() descriptor.Change {
	return descriptor.NewChange(m.message.ChangeID, m.message.Author, m.message.At)
}

// HistoryRecord is the record of one change in the history.
type HistoryRecord struct {
	message  recordMessage
	revision storer.Revision
}

// ParseHistoryRecord decodes a history key's value.
func ParseHistoryRecord(value []byte, revision storer.Revision) (HistoryRecord, error) {
	r := HistoryRecord{revision: revision}
	if err := json.Unmarshal(value, &r.message); err != nil {
		return r, errors.Wrapf(err, "history key at revision %s", revision)
	}
	return r, nil
}

// Revision returns the revision that the change created.
func (r HistoryRecord) Revision() descriptor.Revision { return ConfigurationRevision(r.revision) }

// Change returns the change that the record is about.
func (r HistoryRecord) Change() descriptor.Change {
	return descriptor.NewChange(r.message.ChangeID, r.message.Author, r.message.At)
}

// Services returns the names of the services that the change wrote or deleted.
func (r HistoryRecord) Services() []string { return r.message.Services }

// contentHashes are the hashes of the values that a manifest names.
type contentHashes struct {
	services map[string]string
	tenants  string // Empty without tenants.
}

func contentHash(value []byte) string {
	return strconv.FormatUint(xxhash.Sum64(value), 16)
}

func encodeManifest(d descriptor.Deployment, number int64, change descriptor.Change, hashes contentHashes) ([]byte, error) {
	data, err := json.Marshal(manifestMessage{
		Deployment:     d.Name(),
		BytesPerSecond: d.MeasurementBudget().BytesPerSecond(),
		WorkerShare:    d.MeasurementBudget().WorkerShare(),
		Number:         number,
		ChangeID:       change.ID(),
		Author:         change.Author(),
		At:             change.At(),
		Services:       hashes.services,
		Tenants:        hashes.tenants,
	})
	if err != nil {
		return data, errors.Wrap(err, "encode deployment key")
	}
	return data, nil
}

func (m Manifest) deployment(services []descriptor.Service, tenants []descriptor.Tenant) descriptor.Deployment {
	budget := descriptor.NewMeasurementBudget(m.message.BytesPerSecond, m.message.WorkerShare)
	return descriptor.NewDeployment(m.message.Deployment, budget, services).
		WithTenants(tenants).WithRevision(m.Revision(), m.Change())
}
