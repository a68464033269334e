/** @file Metrics.cpp Quantiles of histograms and the Prometheus text format. */
#include <sequoia/Metrics.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace sequoia {

namespace {

    constexpr int binCount = 800;
    constexpr double minValue = 1e-4;
    constexpr double maxValue = 1e4;
    constexpr std::array<double, 12> bucketBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
        10.0 };

} // namespace

TimeHistogram::TimeHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(binCount, minValue, maxValue)))
{
}

void TimeHistogram::add(double value)
{
    const std::lock_guard lock(m_mutex);
    m_histogram(std::clamp(value, minValue, maxValue * 0.999));
    m_sum += value;
    ++m_count;
}

double TimeHistogram::quantile(double q) const
{
    const std::lock_guard lock(m_mutex);
    if (m_count == 0)
        return 0;
    const double targetCount = q * static_cast<double>(m_count);
    double cumulative = 0;
    for (int i = 0; i < binCount; ++i) {
        const auto n = static_cast<double>(m_histogram.at(i));
        cumulative += n;
        if (n > 0 && cumulative >= targetCount)
            return m_histogram.axis().bin(i).upper();
    }
    return maxValue;
}

uint64_t TimeHistogram::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_count;
}

double TimeHistogram::sum() const
{
    const std::lock_guard lock(m_mutex);
    return m_sum;
}

std::string TimeHistogram::prometheus(const std::string& name, const std::string& help) const
{
    const std::lock_guard lock(m_mutex);
    auto out = fmt::format("# HELP {} {}\n# TYPE {} histogram\n", name, help, name);
    double cumulative = 0;
    int i = 0;
    for (const double bound : bucketBounds) {
        for (; i < binCount && m_histogram.axis().bin(i).upper() <= bound; ++i)
            cumulative += static_cast<double>(m_histogram.at(i));
        out += fmt::format("{}_bucket{{le=\"{}\"}} {}\n", name, bound, cumulative);
    }
    return out + fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n{0}_count {1}\n", name, m_count, m_sum);
}

std::string prometheusValue(const std::string& name, const std::string& type, const std::string& help, double value)
{
    return fmt::format("# HELP {0} {2}\n# TYPE {0} {1}\n{0} {3}\n", name, type, help, value);
}

LabelledHistograms::LabelledHistograms(size_t maxSeries)
    : m_maxSeries(maxSeries)
{
}

void LabelledHistograms::addSeconds(const MetricLabels& labels, double seconds)
{
    if (m_series.size() >= m_maxSeries && !m_series.contains(labels)) {
        auto overflow = labels;
        for (auto& [name, value] : overflow)
            value = "other";
        if (overflow != labels)
            return addSeconds(overflow, seconds);
    }
    const auto it
        = m_series.try_emplace(labels, Series { boost::histogram::make_histogram(Axis(bucketBounds)), 0 }).first;
    it->second.histogram(seconds);
    it->second.sum += seconds;
}

PrometheusText::PrometheusText(std::string prefix)
    : m_prefix(std::move(prefix))
{
}

void PrometheusText::header(std::string_view name, std::string_view help, std::string_view type)
{
    if (m_lastHeader == name)
        return;
    m_lastHeader = name;
    m_text += fmt::format("# HELP {0}{1} {2}\n# TYPE {0}{1} {3}\n", m_prefix, name, help, type);
}

void PrometheusText::sample(const std::string& name, const MetricLabels& labels, double value)
{
    std::string list;
    for (const auto& [key, text] : labels) {
        std::string escaped;
        for (const char c : text) {
            if (c == '"' || c == '\\')
                escaped += '\\';
            escaped += c == '\n' ? ' ' : c;
        }
        list += fmt::format("{}{}=\"{}\"", list.empty() ? "" : ",", key, escaped);
    }
    m_text += fmt::format("{}{}{} {}\n", m_prefix, name, list.empty() ? "" : "{" + list + "}", value);
}

void PrometheusText::counter(std::string_view name, std::string_view help, uint64_t value, const MetricLabels& labels)
{
    header(name, help, "counter");
    sample(std::string(name), labels, static_cast<double>(value));
}

void PrometheusText::gauge(std::string_view name, std::string_view help, double value, const MetricLabels& labels)
{
    header(name, help, "gauge");
    sample(std::string(name), labels, value);
}

void PrometheusText::histograms(std::string_view name, std::string_view help, const LabelledHistograms& histograms)
{
    header(name, help, "histogram");
    for (const auto& [labels, series] : histograms.m_series) {
        double cumulative = series.histogram.at(-1); // Underflow bin: values below the first bound.
        const auto bucket = [&, &labels = labels](const std::string& bound) {
            auto all = labels;
            all.emplace_back("le", bound);
            sample(fmt::format("{}_bucket", name), all, cumulative);
        };
        const int n = series.histogram.axis().size();
        for (int i = 0; i < n; ++i) {
            bucket(fmt::to_string(series.histogram.axis().bin(i).lower()));
            cumulative += series.histogram.at(i);
        }
        bucket(fmt::to_string(series.histogram.axis().bin(n - 1).upper()));
        cumulative += series.histogram.at(n);
        bucket("+Inf");
        sample(fmt::format("{}_sum", name), labels, series.sum);
        sample(fmt::format("{}_count", name), labels, cumulative);
    }
}

} // namespace sequoia
