package report

import (
	"fmt"
	"html/template"
	"io"
	"strconv"
	"strings"

	"fuchsiahoist.example/hoist/internal/decide/config"
)

// format writes a value as a column shows it.
func (c Cell) format(column config.Column) string {
	if c.Text != "" {
		return c.Text
	}
	return strconv.FormatFloat(c.Number, 'f', column.Decimals, 64)
}

// WriteText writes a report as text: title, headings, a line for each row,
// footer. Text is aligned left, numbers right; a value wider than its column
// is not cut.
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
			cell := row[column.Field]
			line[i] = pad(cell.format(column), column.Width, cell.Text != "")
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
