/** @file Metrics.h Histograms of times on Boost.Histogram, and the Prometheus text form. */
#pragma once

#include <sequoia/Time.h>

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

/** Histogram of positive values over eight decades with bins of a few per cent. Thread-safe. */
class TimeHistogram {
public:
    TimeHistogram();
    /** Adds one value, in any unit. */
    void add(double value);
    /** The value that the share `q` of all values does not exceed; 0 if there is none. */
    double quantile(double q) const;
    uint64_t count() const;
    double sum() const;
    /** Prometheus text for a histogram in seconds. */
    std::string prometheus(const std::string& name, const std::string& help) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    mutable std::mutex m_mutex;
    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    double m_sum = 0;
    uint64_t m_count = 0;
};

/** Names and values that tell the series of one metric apart. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/** Histograms of durations, one for each combination of labels, with the buckets of the text form only. */
class LabelledHistograms {
public:
    /** Combinations beyond `mostSeries` are counted under the label values "other". */
    explicit LabelledHistograms(size_t mostSeries = 64);
    template <typename D> void add(const MetricLabels& labels, D duration)
    {
        addSeconds(labels, std::chrono::duration<double>(duration).count());
    }

private:
    friend class PrometheusText;
    using Axis = boost::histogram::axis::variable<double>;
    struct Series {
        boost::histogram::histogram<std::tuple<Axis>> histogram;
        double sum = 0;
    };

    void addSeconds(const MetricLabels& labels, double seconds);

    size_t m_maxSeries;
    std::map<MetricLabels, Series> m_series;
};

/** Prometheus text of one counter or gauge. */
std::string prometheusValue(const std::string& name, const std::string& type, const std::string& help, double value);

/** Type of the text form in HTTP replies. */
constexpr std::string_view metricsContentType = "text/plain; version=0.0.4";

/** Builds the text form; the series of one metric have to follow each other. */
class PrometheusText {
public:
    /** `prefix` goes before all names. */
    explicit PrometheusText(std::string prefix);
    void counter(std::string_view name, std::string_view help, uint64_t value, const MetricLabels& labels = {});
    void gauge(std::string_view name, std::string_view help, double value, const MetricLabels& labels = {});
    void histograms(std::string_view name, std::string_view help, const LabelledHistograms& histograms);
    const std::string& text() const { return m_text; }

private:
    void header(std::string_view name, std::string_view help, std::string_view type);
    void sample(const std::string& name, const MetricLabels& labels, double value);

    std::string m_prefix;
    std::string m_lastHeader; ///< Metric whose header was written last.
    std::string m_text;
};

} // namespace sequoia
