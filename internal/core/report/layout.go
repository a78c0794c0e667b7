package report

import (
	"fmt"
	"html/template"
	"io"
	"strconv"
	"strings"

	"fuchsiahoist.example/hoist/internal/decide/config"
)

// format returns a value as text, with the decimals of its column.
func (v Value) format(column config.Column) string {
	if v.Text != "" {
		return v.Text
	}
	return strconv.FormatFloat(v.Number, 'f', column.Decimals, 64)
}

// WriteText writes a report as text: the title, the headings, a line for each row
// and the footer. Text is aligned left and numbers right; a value wider than its
// column is not truncated.
func WriteText(w io.Writer, layout config.Report, table Table) error {
	var b strings.Builder
	if layout.Title != "" {
		b.WriteString(layout.Title + "\n")
	}
	line := make([]string, len(layout.Columns))
	for i, column := range layout.Columns {
		line[i] = pad(column.Heading, column.Width, isTextField(table, column.Field))
	}
	b.WriteString(joinLine(line))
	for _, row := range table {
		for i, column := range layout.Columns {
			value := row[column.Field]
			line[i] = pad(value.format(column), column.Width, value.Text != "")
		}
		b.WriteString(joinLine(line))
	}
	if layout.Footer != "" {
		b.WriteString(layout.Footer + "\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func joinLine(cells []string) string {
	return strings.TrimRight(strings.Join(cells, " "), " ") + "\n"
}

func pad(s string, width int, isLeft bool) string {
	if isLeft {
		return fmt.Sprintf("%-*s", width, s)
	}
	return fmt.Sprintf("%*s", width, s)
}

func isTextField(table Table, field string) bool {
	return len(table) > 0 && table[0][field].Text != ""
}

var htmlReport = template.Must(template.New("report").Parse(`<table>
{{if .Title}}<caption>{{.Title}}</caption>
{{end}}<thead><tr>{{range .Headings}}<th>{{.}}</th>{{end}}</tr></thead>
<tbody>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</tbody>
</table>
{{if .Footer}}<p>{{.Footer}}</p>
{{end}}`))

// WriteHTML writes a report as an HTML table. All values are escaped.
func WriteHTML(w io.Writer, layout config.Report, table Table) error {
	data := struct {
		Title, Footer string
		Headings      []string
		Rows          [][]string
	}{Title: layout.Title, Footer: layout.Footer}
	for _, column := range layout.Columns {
		data.Headings = append(data.Headings, column.Heading)
	}
	for _, row := range table {
		var cells []string
		for _, column := range layout.Columns {
			cells = append(cells, row[column.Field].format(column))
		}
		data.Rows = append(data.Rows, cells)
	}
	return htmlReport.Execute(w, data)
}
