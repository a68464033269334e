/** @file ProcessMetrics.cpp Counters of links, log output and unexpected errors. */
#include "ProcessMetrics.h"

#include <fmt/format.h>

namespace sequoia {

void addProcessCounters(PrometheusText& out, const LinkHub& links, const LineWriter& output,
    const FailureGuard& failures, std::string_view peers)
{
    out.counter("link_bytes_sent_total", fmt::format("Bytes of frames sent to {}.", peers), links.bytesSent());
    out.counter(
        "link_bytes_received_total", fmt::format("Bytes of frames received from {}.", peers), links.bytesReceived());
    out.counter("log_lines_total", "Log lines written.", output.lines());
    out.counter("log_bytes_total", "Bytes of log lines.", output.bytes());
    out.counter("log_lines_dropped_total", "Log lines that nobody read in time.", output.dropped());
    out.counter("unexpected_errors_total", "Errors that no code expected; the log names each.", failures.errors());
}

} // namespace sequoia
