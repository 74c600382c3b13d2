package administrator

import (
	"crypto/rand"
	"encoding/base64"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// secretBytes is the length of a generated secret: 256 random bits make it
// infeasible to find a secret from its hash by search.
const secretBytes = 32

type keySummary struct {
	ID        identifier.KeyID         `json:"id"`
	Workspace identifier.WorkspaceName `json:"workspace"`
}

func (a *Administrator) listKeys(*http.Request) (any, error) {
	view, err := a.currentView()
	if err != nil {
		return nil, err
	}
	return map[string]any{"version": view.Accepted.Version, "keys": view.Accepted.Keys}, nil
}

type keyRequest struct {
	changeRequest
	KeyID     identifier.KeyID         `json:"key_id"`
	Workspace identifier.WorkspaceName `json:"workspace"`
}

type keyResponse struct {
	Change changeResponse `json:"change"`
	Key    keySummary     `json:"key"`
	Secret string         `json:"secret,omitempty"` // Returned in this response only.
	Note   string         `json:"note,omitempty"`
}

// createKey creates a key and returns its secret once. Resubmitting an attempt
// that was already accepted cannot return the secret again, because only its
// hash is stored.
func (a *Administrator) createKey(r *http.Request) (any, error) {
	var request keyRequest
	body, err := decodeBody(r, &request)
	if err != nil {
		return nil, err
	}
	if request.KeyID == "" {
		return nil, errors.Wrap(ErrRequest, "key_id is missing")
	}
	secret, err := newSecret()
	if err != nil {
		return nil, err
	}
	key := configurer.Key{Workspace: request.Workspace, Hash: configurer.HashKey(secret)}
	result, err := a.submitChange(r, request.changeRequest, body, func(d *configurer.Document) (*configurer.Document, error) {
		if _, ok := d.Keys[request.KeyID]; ok {
			return nil, configurer.FieldErrors{{Path: "/keys/" + escapePointerSegment(string(request.KeyID)), Problem: "exists already"}}
		}
		return applyMergePatch(d, map[string]any{"keys": map[identifier.KeyID]configurer.Key{request.KeyID: key}})
	})
	if err != nil {
		return nil, err
	}
	response := keyResponse{Change: result.(changeResponse), Key: keySummary{ID: request.KeyID, Workspace: request.Workspace}}
	if view, ok := a.View(); ok && view.Accepted.Keys[request.KeyID].Hash == key.Hash {
		response.Secret = secret
	} else {
		response.Note = "the key was created by an earlier submission and shown then; withdraw it if that answer was lost"
	}
	return response, nil
}

// withdrawKey removes a key. Every instance rejects the key from the moment the
// proposal is prepared on that instance.
func (a *Administrator) withdrawKey(r *http.Request) (any, error) {
	var request changeRequest
	body, err := decodeBody(r, &request)
	if err != nil {
		return nil, err
	}
	id := identifier.KeyID(r.PathValue("id"))
	return a.submitChange(r, request, body, func(d *configurer.Document) (*configurer.Document, error) {
		if _, ok := d.Keys[id]; !ok {
			return nil, errors.Wrapf(ErrNotFound, "key %.60q", id)
		}
		return applyMergePatch(d, map[string]any{"keys": map[identifier.KeyID]any{id: nil}})
	})
}

func newSecret() (string, error) {
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "random key")
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// escapePointerSegment escapes a segment of a JSON pointer (RFC 6901).
func escapePointerSegment(s string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(s)
}
