#include "base/log.h"

#include <mutex>

#include <unistd.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include "base/log_rate_limiter.h"
#include "nonblocking_appender.h"

namespace knapweedknot {

namespace {

log4cxx::LoggerPtr& logger() {
    static log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    return root;
}

log4cxx::LevelPtr to_log4cxx(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

/// Counts one line for the event and reports lines suppressed in the window that just ended.
bool is_within_limits(std::string_view event) {
    static std::mutex mutex;
    static log_rate_limiter limiter;
    const std::scoped_lock lock(mutex);
    for (const auto& [kind, count] : start_window_if_due(limiter, boot_clock::now())) {
        logger()->forcedLog(log4cxx::Level::getWarn(),
                            "event=lines_left_out kind=" + kind + " count=" + std::to_string(count),
                            LOG4CXX_LOCATION);
    }
    return admit_line(limiter, event, log_limits{});
}

} // namespace

void start_log(std::string_view program, log_level lowest) {
    const std::string pattern =
        "time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p program=" + std::string(program) + " %m%n";
    auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    auto appender = std::make_shared<detail::nonblocking_appender>(layout, STDOUT_FILENO);
    logger()->removeAllAppenders();
    logger()->addAppender(appender);
    logger()->setLevel(to_log4cxx(lowest));
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    const log4cxx::LevelPtr mapped = to_log4cxx(level);
    if (!logger()->isEnabledFor(mapped) || !is_within_limits(event)) {
        return;
    }
    std::string line = "event=" + std::string(event);
    for (const log_field& field : fields) {
        line += ' ' + detail::format_field(field);
    }
    logger()->forcedLog(mapped, line, LOG4CXX_LOCATION);
}

log_level parse_log_level(std::string_view text) noexcept {
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "warning") {
        return log_level::warning;
    }
    if (text == "error") {
        return log_level::error;
    }
    return log_level::info;
}

std::string detail::format_field(const log_field& field) {
    std::string text(field.key);
    text += '=';
    if (!field.value.empty() && field.value.find_first_of(" \"=\n\r\t") == std::string::npos) {
        return text + field.value;
    }
    text += '"';
    for (const char c : field.value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += (c == '\n' || c == '\r' || c == '\t') ? ' ' : c;
    }
    return text + '"';
}

} // namespace knapweedknot
