package bootstrapper

import (
	"burdocklane/descriptor"
	"burdocklane/registrar"
	"burdocklane/storer"
)

// applyKeys applies the configuration and the list of the fleet from the keys of
// the store.
func (p *Process) applyKeys(usable []storer.Pair, stored storer.RangeResult) {
	list, changed := p.directory.Parse(usable, stored.Revision())
	p.registration.Observe(usable)
	p.updateRelay(list, stored)
	if changed != nil {
		p.applyConfiguration(*changed)
	}
	p.publisher.PublishList(list)
	if !p.hasList.Swap(true) {
		p.log.Info().Int("workers", len(list.Workers())).Int("instances", len(list.Instances())).Msg("received the first list of the fleet")
	}
}

func (p *Process) applyConfiguration(d descriptor.Deployment) {
	source := p.follower.Source()
	if err := p.publisher.PublishDeployment(d, source); err != nil {
		p.log.Warn().Err(err).Str("source", source).Msg("an older configuration was ignored")
		return
	}
	p.log.Info().Int64("revision", int64(d.Revision())).Str("source", source).Msg("configuration is in force")
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
