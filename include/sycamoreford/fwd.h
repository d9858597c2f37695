#pragma once

/// \file
/// Forward declarations of the library's main types.

namespace sycamoreford {

class AnswerProgress;
class ConfigFollower;
class ConfigHolder;
class Configuration;
class EndpointTable;
class EntryDaemon;
class HttpEngineClient;
class HttpServer;
class HttpTableClient;
class OperatorServer;
struct Failure;
struct Settings;

}  // namespace sycamoreford
