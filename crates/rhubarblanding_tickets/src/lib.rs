//! Change tickets: the document, its checks, submission and adoption.
