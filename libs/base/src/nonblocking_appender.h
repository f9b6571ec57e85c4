#pragma once

#include <cstdint>
#include <string>

#include <log4cxx/appenderskeleton.h>

/// \file
/// A log4cxx appender that never blocks on its file descriptor.

namespace knapweedknot::detail {

// The log4cxx macros use these namespace names without qualification.
namespace helpers = log4cxx::helpers;
namespace spi = log4cxx::spi;

/// Writes lines to a file descriptor. While the descriptor accepts no data, lines are buffered up
/// to a limit; further lines are dropped and counted.
class nonblocking_appender : public log4cxx::AppenderSkeleton {
public:
    DECLARE_LOG4CXX_OBJECT(nonblocking_appender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(nonblocking_appender)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    nonblocking_appender() = default;
    nonblocking_appender(const log4cxx::LayoutPtr& layout, int descriptor);

    void close() override {}
    [[nodiscard]] bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override;

private:
    /// Writes buffered lines until the descriptor would block.
    void flush();

    int descriptor{-1};
    std::string buffered;
    std::uint64_t dropped{0};
};

} // namespace knapweedknot::detail
