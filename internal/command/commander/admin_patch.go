package commander

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// patchBody is the body of a patch request.
type patchBody struct {
	BaseVersion uint64          `json:"base_version"`
	AttemptID   string          `json:"attempt_id"`
	MergePatch  json.RawMessage `json:"merge_patch,omitempty"`
	JSONPatch   json.RawMessage `json:"json_patch,omitempty"`
}

func newAdminPatch(client *adminClient) *cobra.Command {
	var base uint64
	c := &cobra.Command{
		Use:   "patch FILE",
		Short: "Submit a patch against a numbered version",
		Long: "Submit a patch against a numbered version. A JSON object is a merge patch (RFC 7396), a JSON array is a\n" +
			"JSON patch (RFC 6902). FILE may be - for standard input.",
		Example: "  oleanderpulley admin patch --base-version 7 rates.json",
		Args:    exactArgs(1),
	}
	c.Flags().Uint64Var(&base, "base-version", 0, "version that the patch is based on")
	_ = c.MarkFlagRequired("base-version") // Fails only for a flag that does not exist.
	attempt := addAttemptFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		body, err := readPatch(args[0], c.InOrStdin())
		if err != nil {
			return err
		}
		body.BaseVersion, body.AttemptID = base, *attempt
		return client.call(c.Context(), c.OutOrStdout(), "PATCH", "/v1/config", body)
	}
	return c
}

// readPatch reads a patch and detects its kind: an array is a JSON patch, any
// other value a merge patch.
func readPatch(file string, stdin io.Reader) (patchBody, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(filepath.Clean(file))
	}
	if err != nil {
		return patchBody{}, errors.Wrap(err, "reading the patch")
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return patchBody{}, errors.Wrapf(err, "patch %s is not JSON", file)
	}
	if _, ok := value.([]any); ok {
		return patchBody{JSONPatch: data}, nil
	}
	return patchBody{MergePatch: data}, nil
}
