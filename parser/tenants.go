package parser

import (
	"encoding/hex"
	"encoding/json"
	"slices"

	"burdocklane/descriptor"

	"github.com/go-faster/errors"
)

// tenantMessage is a tenant in a document. Keys are declared by their SHA-256 digests in
// hexadecimal, so that no document, diff or record of a change holds a key.
type tenantMessage struct {
	KeyDigests []string `json:"key-digests"`
}

// ParseTenants parses and validates tenants as stored. The source is the name of their key
// in errors. The error is a *DocumentError with every violation.
func ParseTenants(source string, data []byte) ([]descriptor.Tenant, error) {
	violations := &violationList{}
	all, ok := parseDocument(data, violations)
	if !ok {
		return nil, violations.err(source)
	}
	tenants := parseTenants(&all)
	return tenants, violations.err(source)
}

// EncodeTenants returns the tenants as the compact JSON that is stored, or nothing if there
// are none. Equal tenants have equal encodings.
func EncodeTenants(tenants []descriptor.Tenant) ([]byte, error) {
	if len(tenants) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(newTenantMessages(tenants))
	if err != nil {
		return data, errors.Wrap(err, "encode tenants")
	}
	return data, nil
}

// parseOptionalTenants parses the tenants of a deployment, which may have none.
func parseOptionalTenants(root *object) []descriptor.Tenant {
	if _, declared := root.fields["tenants"]; !declared {
		return nil
	}
	all, ok := root.child("tenants")
	if !ok {
		return nil
	}
	return parseTenants(&all)
}

func parseTenants(all *object) []descriptor.Tenant {
	if len(all.keys) == 0 {
		all.violations.add(all.path, "declares no tenant; without the field, calls need no key")
	}
	holders := map[descriptor.KeyDigest]string{}
	tenants := make([]descriptor.Tenant, 0, len(all.keys))
	for _, name := range all.sortedKeys() {
		checkName(all.violations, all.pathOf(name), name)
		if o, ok := all.child(name); ok {
			digests := parseKeyDigests(name, &o, holders)
			o.reportUnknown()
			tenants = append(tenants, descriptor.NewTenant(descriptor.TenantName(name), descriptor.WithKeys(digests...)))
		}
	}
	return tenants
}

// parseKeyDigests parses the digests of a tenant's keys and adds them to the holders. It is
// a violation if one is held already: it would be unclear whose key it is.
func parseKeyDigests(name string, o *object, holders map[descriptor.KeyDigest]string) []descriptor.KeyDigest {
	if !o.required("key-digests") {
		return nil
	}
	var digests []descriptor.KeyDigest
	for n, text := range o.stringList("key-digests") {
		decoded, err := hex.DecodeString(text)
		if err != nil || len(decoded) != len(descriptor.KeyDigest{}) {
			o.violations.add(o.pathOf("key-digests"), "item %d is not a SHA-256 digest in hexadecimal", n) // It may be a key.
			continue
		}
		digest := descriptor.KeyDigest(decoded)
		if holder, held := holders[digest]; held {
			o.violations.add(o.pathOf("key-digests"), "item %d is a key of tenant %s already", n, holder)
			continue
		}
		holders[digest] = name
		digests = append(digests, digest)
	}
	return digests
}

func newTenantMessages(tenants []descriptor.Tenant) map[string]tenantMessage {
	if len(tenants) == 0 {
		return nil
	}
	messages := make(map[string]tenantMessage, len(tenants))
	for _, t := range tenants {
		message := tenantMessage{KeyDigests: []string{}}
		for _, digest := range t.Keys() {
			message.KeyDigests = append(message.KeyDigests, hex.EncodeToString(digest[:]))
		}
		slices.Sort(message.KeyDigests)
		messages[string(t.Name())] = message
	}
	return messages
}
