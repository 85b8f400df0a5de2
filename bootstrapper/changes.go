package bootstrapper

import (
	"time"

	"burdocklane/descriptor"
	adapter "burdocklane/platform"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

// applyKeys applies the configuration and the list of the fleet from the keys of
// the store.
func (p *Process) applyKeys(usable []storer.Pair, stored storer.RangeResult) {
	delivered := time.Now()
	list, changed := p.directory.Parse(usable, stored.Revision())
	p.registration.Observe(stored)
	p.updateRelay(list, stored)
	if changed != nil {
		p.confirmFirst(list, changed.Revision())
		p.applyConfiguration(*changed, configurationValue(usable), p.follower.Source(), delivered)
	}
	p.publisher.PublishList(list)
	if !p.hasList.Swap(true) {
		p.log.Info().Int("workers", len(list.Workers())).Int("instances", len(list.Instances())).Msg("received the first list of the fleet")
	}
}

// confirmFirst asks peers for a later configuration than the first one that was read, and
// puts it in force, so that nothing that it has withdrawn is in use after a start.
func (p *Process) confirmFirst(list registrar.List, read descriptor.Revision) {
	if p.publisher.Current().Ready() {
		return
	}
	p.confirmer.Confirm(list.Instances(), read, func(value []byte, source string) {
		if _, err := p.applyFetched(value, source); err != nil {
			p.log.Warn().Err(err).Str("source", source).Msg("configuration of a peer is invalid; ignoring it")
		}
	})
}

// applyConfiguration makes a configuration active unless it is older than the active
// one, or the same: a store that has gone back to an older copy gives it out again. The
// same revision with other content is active if it was written since the store went
// back. The value, from which it was parsed, is served to peers from then on. The source
// delivered it at the given time.
func (p *Process) applyConfiguration(d descriptor.Deployment, value []byte, source string, delivered time.Time) {
	p.applying.Lock()
	defer p.applying.Unlock()
	behind := p.fetcher.Behind()
	err := p.publisher.PublishDeployment(d, source)
	var notNewer *publisher.RevisionError
	var otherContent *publisher.ContentError
	switch {
	case err == nil:
		p.relay.PublishConfiguration(d.Revision(), value)
		p.log.Info().Int64("revision", int64(d.Revision())).Str("source", source).Int("tenants", len(d.Tenants())).
			Dur("applied-in", time.Since(delivered)).Dur("behind", behind).Msg("configuration is in force")
	case errors.As(err, &notNewer) && notNewer.Rejected() == notNewer.Active():
	case errors.As(err, &otherContent):
		p.log.Warn().Err(err).Str("source", source).Msg("another configuration of the active revision was ignored")
	default:
		p.log.Warn().Err(err).Str("source", source).Msg("an older configuration was ignored")
	}
}

// configurationValue returns the value of the configuration's key.
func configurationValue(pairs []storer.Pair) []byte {
	for _, pair := range pairs {
		if pair.Key() == adapter.ConfigurationKey {
			return pair.Value()
		}
	}
	return nil
}

// unknownEra is before all eras of the store.
const unknownEra = -1

// applyFetched makes the configuration of a peer active as applyConfiguration does, and
// returns its version.
func (p *Process) applyFetched(value []byte, source string) (descriptor.Revision, error) {
	delivered := time.Now()
	d, err := adapter.ParseConfiguration(value, adapter.WithCorrectionLog(p.log, source))
	if err != nil {
		return 0, err
	}
	// What the store itself holds at this revision replaces it: the era of the peer's read is unknown.
	d = d.WithOrigin(descriptor.NewOrigin(unknownEra, value))
	p.applyConfiguration(d, value, source, delivered)
	return d.Revision(), nil
}

// activeVersion returns the version of the configuration in force, or 0.
func (p *Process) activeVersion() descriptor.Revision {
	return p.publisher.Current().Deployment().Revision()
}

// updateRelay serves the stored keys to peers if this instance is a relay, and
// stops serving them otherwise.
func (p *Process) updateRelay(list registrar.List, stored storer.RangeResult) {
	if !p.selector.UpdateInstances(list.Instances()) {
		p.relay.Suspend()
		return
	}
	p.relay.Publish(stored)
}
