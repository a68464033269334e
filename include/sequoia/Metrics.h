/** @file Metrics.h Histograms of durations on Boost.Histogram, and the Prometheus text format. */
#pragma once

#include <sequoia/Time.h>

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

/** Histogram with logarithmic bins, each 2.3% wide, for values from 1e-4 to 1e4. Thread-safe. */
class TimeHistogram {
public:
    TimeHistogram();
    /** Adds one value, in any unit; values outside the range count in the first or last bin. */
    void add(double value);
    /** Upper bound of the bin that contains the `q`-quantile, with `q` from 0 to 1; 0 if there are no values. */
    double quantile(double q) const;
    uint64_t count() const;
    double sum() const;
    /** Prometheus text of this histogram; its values must be in seconds. */
    std::string prometheus(const std::string& name, const std::string& help) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    mutable std::mutex m_mutex;
    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    double m_sum = 0;
    uint64_t m_count = 0;
};

/** Label names and values, which identify one series of a metric. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/** Histograms of durations, one for each combination of labels, with the buckets of the text format only. */
class LabelledHistograms {
public:
    /** Once there are `maxSeries` combinations, further ones are counted under the label values "other". */
    explicit LabelledHistograms(size_t maxSeries = 64);
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

/** Content type of the text format. */
constexpr std::string_view metricsContentType = "text/plain; version=0.0.4";

/** Builds the text format. All series of one metric have to be added one after the other. */
class PrometheusText {
public:
    /** `prefix` is put before all metric names. */
    explicit PrometheusText(std::string prefix);
    void counter(std::string_view name, std::string_view help, uint64_t value, const MetricLabels& labels = {});
    void gauge(std::string_view name, std::string_view help, double value, const MetricLabels& labels = {});
    void histograms(std::string_view name, std::string_view help, const LabelledHistograms& histograms);
    const std::string& text() const { return m_text; }

private:
    void header(std::string_view name, std::string_view help, std::string_view type);
    void sample(const std::string& name, const MetricLabels& labels, double value);

    std::string m_prefix;
    std::string m_lastHeader; ///< Metric whose HELP and TYPE lines were written last.
    std::string m_text;
};

} // namespace sequoia
