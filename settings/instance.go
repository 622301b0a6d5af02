package settings

// instanceSection documents the optional settings of fuchsiacross-instance. Package instance
// reads them.
const instanceSection = `
## fuchsiacross-instance

The instance on the users' platform reads a JSON file of its own, which
` + "`deploy/settings.json.tmpl`" + ` renders. Unknown fields are refused. Optional settings:

| field | type | range | default | description |
| --- | --- | --- | --- | --- |
| ` + "`features`" + ` | string |  | "" | optional rules that the deployment asks for, separated by commas without spaces; the instance acts on ` + "`tenants`" + `: requests need keys (see [keys](design/keys.md)) |
| ` + "`strict_revocation`" + ` | boolean |  | false | requests with keys are refused with status 503 once the configuration has not been confirmed for ` + "`revocation_milliseconds`" + ` |
| ` + "`revocation_milliseconds`" + ` | integer, milliseconds | at least 0 | 0 | 0 means 1500; without effect unless ` + "`strict_revocation`" + ` is set, but a leader that answers for the store uses it too |
`
