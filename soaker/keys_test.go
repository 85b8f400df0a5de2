package soaker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"burdocklane/platform/imitator"
)

const (
	tenantName = "tenant"
	// lastingKey is the API key that every configuration has.
	lastingKey = "lasting"
	// keyVersions is in how many versions of the configuration a key is in force.
	keyVersions = 2
)

// keyOf returns the API key that this version of the configuration adds.
func keyOf(version int) string { return fmt.Sprintf("key-%d", version) }

// tenantsOf returns the tenants of this version of the configuration. Each version adds a
// key and withdraws one.
func tenantsOf(version int) string {
	keys := []string{lastingKey}
	for n := max(version-keyVersions+1, 1); n <= version; n++ {
		keys = append(keys, keyOf(n))
	}
	return fmt.Sprintf(`{%q:{"ApiKeys":["%s"]}}`, tenantName, strings.Join(keys, `","`))
}

func setKey(request *http.Request, key string) { request.Header.Set("Authorization", "Bearer "+key) }

// checkWithdrawnKey checks that a process which has served a version of the configuration
// does not serve a random one of the keys that are withdrawn in it.
func (f *fleet) checkWithdrawnKey(ctx context.Context, i *incarnation, version int) {
	if withdrawn := version - keyVersions; withdrawn > 0 {
		f.checkKeyIsRefused(ctx, i, version, keyOf(1+rand.IntN(withdrawn)))
	}
}

// checkAllWithdrawnKeys is like checkWithdrawnKey, for all of the keys.
func (f *fleet) checkAllWithdrawnKeys(ctx context.Context, i *incarnation, version int) {
	for n := 1; n <= version-keyVersions; n++ {
		f.checkKeyIsRefused(ctx, i, version, keyOf(n))
	}
}

func (f *fleet) checkKeyIsRefused(ctx context.Context, i *incarnation, version int, key string) {
	// Every version has the first route. The next process of the instance may answer.
	if status := f.probeWithKey(ctx, i, 1, key); status == http.StatusOK && !i.replaced.Load() {
		f.c.Errorf("%s served %s, which is withdrawn in configuration %d", i.process.Name(), key, version)
	}
}

// checkTenant checks that a worker got a call with its tenant and without its key.
func (f *fleet) checkTenant(worker string, r imitator.Run) {
	if r.Tenant() != tenantName || r.HasCredential() {
		f.c.Errorf("%s ran at %s for tenant %q, with a credential: %t", r.ID(), worker, r.Tenant(), r.HasCredential())
	}
}
