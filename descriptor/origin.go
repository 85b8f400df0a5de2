package descriptor

import "crypto/sha256"

// Origin tells the writes of one revision apart: a store that has gone back to an older
// copy may get other content at a revision that it has lost. The zero value is the
// origin of deployments whose store never does that.
type Origin struct {
	era    int64
	digest [sha256.Size]byte
}

// NewOrigin returns the origin of a deployment that was read in an era of the store
// from the content.
func NewOrigin(era int64, content []byte) Origin {
	return Origin{era: era, digest: sha256.Sum256(content)}
}

// Era returns the era of the store in which the deployment was read.
func (o Origin) Era() int64 { return o.era }

// SameContent reports whether both were read from the same bytes.
func (o Origin) SameContent(other Origin) bool { return o.digest == other.digest }
