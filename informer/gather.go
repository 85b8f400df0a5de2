package informer

// tidings is what is new of a worker.
type tidings struct {
	record record
	duty   duty
	// turned marks that the worker has become slow, calm, unwell, well or away,
	// which concerns everybody who has a call there.
	turned bool
}

// gather returns what is new of the workers.
func gather(v *view, d *duties) []tidings {
	var all []tidings
	for n, t := range v.targets {
		if r, ok := t.news(); ok {
			all = append(all, tidings{record: r, duty: d.of[n], turned: t.turned(r)})
		}
	}
	return all
}

// concerning returns the records that an instance is to know of.
func concerning(all []tidings, instance uint32) []record {
	var records []record
	for _, t := range all {
		if t.turned || t.duty.concerns(instance) {
			records = append(records, t.record)
		}
	}
	return records
}
