package timeline

import (
	"html/template"
	"io"
	"slices"
)

// pageTemplate is a self-contained HTML document. Its content security policy forbids
// browsers to load any other resource.
var pageTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'">
<title>Timeline</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; }
th, td { padding: 1px 8px; white-space: nowrap; }
td.lane { border-left: 1px solid #ccc; text-align: center; }
td.here { background: #cde; }
td.detail { white-space: normal; }
tr:hover td { background: #f2f2f2; }
tr.hidden { display: none; }
</style>
</head>
<body>
<p><label>Request <input id="filter" list="requests" autocomplete="off"></label> <span id="count">{{len .Rows}}</span> records</p>
<datalist id="requests">{{range .Requests}}<option value="{{.}}"></option>{{end}}</datalist>
<table>
<thead><tr><th>Time</th>{{range .Processes}}<th>{{.}}</th>{{end}}<th>Request</th><th>Worker</th><th>Peer</th><th>Detail</th></tr></thead>
<tbody id="records">
{{range .Rows}}{{$row := .}}<tr data-request="{{.Request}}"><td>{{.Time}}</td>{{range $.Processes}}{{if eq . $row.Process}}<td class="lane here">{{$row.Kind}}</td>{{else}}<td class="lane"></td>{{end}}{{end}}<td>{{.Subject}}</td><td>{{.Worker}}</td><td>{{.Peer}}</td><td class="detail">{{.Detail}}</td></tr>
{{end}}</tbody>
</table>
<script>
const filter = document.getElementById("filter");
const rows = document.getElementById("records").rows;
filter.addEventListener("input", () => {
  let shown = 0;
  for (const row of rows) {
    const match = row.dataset.request.includes(filter.value);
    row.classList.toggle("hidden", !match);
    shown += match ? 1 : 0;
  }
  document.getElementById("count").textContent = shown;
});
</script>
</body>
</html>
`))

type pageData struct {
	Processes []string
	Requests  []string
	Rows      []pageRow
}

type pageRow struct {
	Record
	Time    string
	Subject string
}

// WriteHTML writes the records as a self-contained HTML page: a table with a column for
// each process and a row for each record, and a filter by request.
func WriteHTML(w io.Writer, records []Record) error {
	var data pageData
	for i := range records {
		r := &records[i]
		data.Processes = append(data.Processes, r.Process)
		if r.Request != "" {
			data.Requests = append(data.Requests, string(r.Request))
		}
		data.Rows = append(data.Rows, pageRow{Record: *r, Time: r.At.UTC().Format(timeFormat), Subject: r.attemptOrRequest()})
	}
	data.Processes = sortedUnique(data.Processes)
	data.Requests = sortedUnique(data.Requests)
	return pageTemplate.Execute(w, data)
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
