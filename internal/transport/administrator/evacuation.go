package administrator

import (
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// evacuate takes the backend servers of a data centre out of use.
func (a *Administrator) evacuate(r *http.Request) (any, error) {
	return a.changeDataCentre(r, (*configurer.Document).Evacuate)
}

// returnDataCentre ends the evacuation of a data centre.
func (a *Administrator) returnDataCentre(r *http.Request) (any, error) {
	return a.changeDataCentre(r, func(d *configurer.Document, dc identifier.DataCentre) (*configurer.Document, error) {
		if !slices.Contains(d.EvacuatedDataCentres, dc) {
			return nil, errors.Wrapf(ErrNotFound, "evacuation of data centre %.60q", dc)
		}
		return d.Return(dc)
	})
}

func (a *Administrator) changeDataCentre(r *http.Request,
	apply func(*configurer.Document, identifier.DataCentre) (*configurer.Document, error),
) (any, error) {
	var request changeRequest
	body, err := decodeBody(r, &request)
	if err != nil {
		return nil, err
	}
	name := identifier.DataCentre(r.PathValue("name"))
	return a.submitChange(r, request, body, func(d *configurer.Document) (*configurer.Document, error) {
		return apply(d, name)
	})
}
