package gossiper

// update is a new observation of a worker.
type update struct {
	record record
	roles  roles
	// changed marks a change of the worker's condition. It goes to all
	// coordinators, because any of them may have calls there.
	changed bool
}

// collectUpdates returns the new observations of the workers.
func collectUpdates(v *view, table *roleTable) []update {
	var all []update
	for n, t := range v.targets {
		if r, ok := t.takeUpdate(); ok {
			all = append(all, update{record: r, roles: table.byTarget[n], changed: t.changed(r)})
		}
	}
	return all
}

// recordsFor returns the records that an instance needs.
func recordsFor(all []update, instance uint32) []record {
	var records []record
	for _, u := range all {
		if u.changed || u.roles.include(instance) {
			records = append(records, u.record)
		}
	}
	return records
}
