//! Tables and pictures of compared runs.

use crate::measure::RunFigures;

/// A table of runs in Markdown.
pub fn markdown(runs: &[RunFigures]) -> String {
    let mut text = String::from(
        "| workload | policy | requests | served | refused | failed | retried | first token p50 ms | p95 ms \
         | p99 ms | recomputed share | link MB | share of each link | goodput /s | served share by customer |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for run in runs {
        let mut shares: Vec<String> = run
            .served_by_customer
            .iter()
            .map(|(name, share)| format!("{name} {share:.2}"))
            .collect();
        shares.sort();
        let shares = shares.join(", ");
        let links: Vec<String> =
            run.link_shares.iter().map(|share| format!("{share:.2}")).collect();
        let links = links.join(" ");
        let row = format!(
            "| {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} | {links} | {:.1} | {shares} |\n",
            run.workload,
            run.policy,
            run.requests,
            run.served,
            run.refused,
            run.failed,
            run.retried,
            run.p50_ms,
            run.p95_ms,
            run.p99_ms,
            run.recomputed_share,
            run.link_bytes as f64 / 1e6,
            run.goodput,
        );
        text.push_str(&row);
    }
    text
}

/// A bar chart of p95 times by workload and policy, as SVG.
pub fn picture(runs: &[RunFigures]) -> String {
    const ROW: usize = 18;
    const LEFT: usize = 280;
    const WIDTH: usize = 500;
    const COLOURS: [&str; 5] = ["#2a7", "#999", "#777", "#aaa", "#58a"];
    let most = runs.iter().map(|run| run.p95_ms).fold(1.0, f64::max);
    let height = runs.len() * ROW + 50;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" \
         fill=\"white\"/>\n<text x=\"10\" y=\"20\" font-size=\"14\">Time to first token, p95 in \
         ms (served requests)</text>\n",
        LEFT + WIDTH + 90
    );
    let mut policies: Vec<&str> = Vec::new();
    for (row, run) in runs.iter().enumerate() {
        if !policies.contains(&&*run.policy) {
            policies.push(&run.policy);
        }
        let place = policies.iter().position(|policy| *policy == run.policy).unwrap_or(0);
        let colour = COLOURS[place % COLOURS.len()];
        let y = 35 + row * ROW;
        let length = (run.p95_ms / most * WIDTH as f64).max(1.0);
        let bar = format!(
            "<text x=\"10\" y=\"{}\">{} / {}</text><rect x=\"{LEFT}\" y=\"{y}\" width=\"{length:.0}\" \
             height=\"{}\" fill=\"{colour}\"/><text x=\"{:.0}\" y=\"{}\">{:.0}</text>\n",
            y + 12,
            run.workload,
            run.policy,
            ROW - 4,
            LEFT as f64 + length + 6.0,
            y + 12,
            run.p95_ms,
        );
        svg.push_str(&bar);
    }
    svg.push_str("</svg>\n");
    svg
}
