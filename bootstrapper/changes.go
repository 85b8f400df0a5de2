package bootstrapper

import (
	"burdocklane/descriptor"
	"burdocklane/publisher"
	"burdocklane/registrar"
	"burdocklane/storer"

	"github.com/go-faster/errors"
)

// applyKeys applies the configuration and the list of the fleet from the keys of
// the store.
func (p *Process) applyKeys(usable []storer.Pair, stored storer.RangeResult) {
	list, changed := p.directory.Parse(usable, stored.Revision())
	p.registration.Observe(stored.Pairs())
	p.updateRelay(list, stored)
	if changed != nil {
		p.applyConfiguration(*changed)
	}
	p.publisher.PublishList(list)
	if !p.hasList.Swap(true) {
		p.log.Info().Int("workers", len(list.Workers())).Int("instances", len(list.Instances())).Msg("received the first list of the fleet")
	}
}

// applyConfiguration makes a configuration active unless it is older than the active
// one, or the same: a store that has gone back to an older copy gives it out again. The
// same revision with other content is active if it was written since the store went
// back.
func (p *Process) applyConfiguration(d descriptor.Deployment) {
	source := p.follower.Source()
	err := p.publisher.PublishDeployment(d, source)
	var notNewer *publisher.RevisionError
	var otherContent *publisher.ContentError
	switch {
	case err == nil:
		p.log.Info().Int64("revision", int64(d.Revision())).Str("source", source).Msg("configuration is in force")
	case errors.As(err, &notNewer) && notNewer.Rejected() == notNewer.Active():
	case errors.As(err, &otherContent):
		p.log.Warn().Err(err).Str("source", source).Msg("another configuration of the active revision was ignored")
	default:
		p.log.Warn().Err(err).Str("source", source).Msg("an older configuration was ignored")
	}
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
